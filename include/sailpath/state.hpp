#pragma once

#include <sailpath/state/Backoff.hpp>
#include <sailpath/state/ConfigurationState.hpp>
#include <sailpath/state/Document.hpp>
#include <sailpath/state/HeldLease.hpp>
