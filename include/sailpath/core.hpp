#pragma once

#include <sailpath/core/Finding.hpp>
#include <sailpath/core/Findings.hpp>
#include <sailpath/core/Hash.hpp>
#include <sailpath/core/Random.hpp>
#include <sailpath/core/ReceiveBuffer.hpp>
#include <sailpath/core/StringMap.hpp>
#include <sailpath/core/Time.hpp>
