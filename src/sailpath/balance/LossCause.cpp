#include <sailpath/balance/LossCause.hpp>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
std::string_view toString(LossCause cause)
{
    switch (cause)
    {
    case LossCause::None:
        return "";
    case LossCause::ClosedByServer:
        return "closed-by-server";
    case LossCause::ResetByServer:
        return "reset-by-server";
    case LossCause::PathBroken:
        return "path-broken";
    case LossCause::Malformed:
        return "malformed";
    case LossCause::TooLarge:
        return "too-large";
    case LossCause::NoMemory:
        return "no-memory";
    }
    return "";
}

////////////////////////////////////////////////////////////
bool endedByServer(LossCause cause)
{
    return cause == LossCause::ClosedByServer || cause == LossCause::ResetByServer;
}

} // namespace sailpath::balance
