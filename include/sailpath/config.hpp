#pragma once

#include <sailpath/config/BackendServer.hpp>
#include <sailpath/config/Host.hpp>
#include <sailpath/config/Route.hpp>
#include <sailpath/config/Service.hpp>
#include <sailpath/config/Workspace.hpp>
#include <sailpath/config/WorkspaceParser.hpp>
