#pragma once

#include <sailpath/retries/AttemptResult.hpp>
#include <sailpath/retries/RetryBudget.hpp>
#include <sailpath/retries/RetryPolicy.hpp>
