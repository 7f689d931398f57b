#pragma once

#include <sailpath/limits/ConcurrencyLimit.hpp>
#include <sailpath/limits/MeasuringBudget.hpp>
#include <sailpath/limits/RateLimit.hpp>
#include <sailpath/limits/WaitPatience.hpp>
#include <sailpath/limits/WaitQueue.hpp>
#include <sailpath/limits/WorkspaceShares.hpp>
