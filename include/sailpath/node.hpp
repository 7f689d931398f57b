#pragma once

#include <sailpath/node/Dispatcher.hpp>
#include <sailpath/node/DispatcherCounters.hpp>
#include <sailpath/node/DispatcherSettings.hpp>
#include <sailpath/node/Outcome.hpp>
#include <sailpath/node/Refusal.hpp>
#include <sailpath/node/Request.hpp>
#include <sailpath/node/Step.hpp>
#include <sailpath/node/Target.hpp>
