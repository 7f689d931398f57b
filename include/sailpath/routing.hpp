#pragma once

#include <sailpath/routing/BaselineChoices.hpp>
#include <sailpath/routing/Candidate.hpp>
#include <sailpath/routing/EstimatedFinishChoice.hpp>
#include <sailpath/routing/LoadReport.hpp>
#include <sailpath/routing/LoadSettings.hpp>
#include <sailpath/routing/ServerChoice.hpp>
#include <sailpath/routing/ServerHealth.hpp>
#include <sailpath/routing/ServerLoad.hpp>
