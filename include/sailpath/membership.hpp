#pragma once

#include <sailpath/membership/Member.hpp>
#include <sailpath/membership/MemberTable.hpp>
#include <sailpath/membership/Rendezvous.hpp>
