#pragma once

#include <sailpath/limits/ConcurrencyLimit.hpp>
#include <sailpath/limits/ProbeTimeBudget.hpp>
#include <sailpath/limits/QueueWaitLimit.hpp>
#include <sailpath/limits/RateLimit.hpp>
#include <sailpath/limits/WaitQueue.hpp>
#include <sailpath/limits/WorkspaceShares.hpp>
