#pragma once

#include <sailpath/node/ControlAction.hpp>
#include <sailpath/node/Controller.hpp>
#include <sailpath/node/ControllerSettings.hpp>
#include <sailpath/node/Digest.hpp>
#include <sailpath/node/Dispatcher.hpp>
#include <sailpath/node/DispatcherCounters.hpp>
#include <sailpath/node/DispatcherSettings.hpp>
#include <sailpath/node/LeaseAnswer.hpp>
#include <sailpath/node/Outcome.hpp>
#include <sailpath/node/Prober.hpp>
#include <sailpath/node/Refusal.hpp>
#include <sailpath/node/Request.hpp>
#include <sailpath/node/ServerReport.hpp>
#include <sailpath/node/Step.hpp>
#include <sailpath/node/Target.hpp>
