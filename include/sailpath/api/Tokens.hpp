#pragma once

#include <sailpath/ports/Store.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace sailpath::api
{
////////////////////////////////////////////////////////////
/// \brief What a token allows; each includes the ones before it
////////////////////////////////////////////////////////////
enum class Scope
{
    Read,  //!< See the workspace
    Write, //!< Change the workspace
    Admin  //!< Everything, in all workspaces
};

////////////////////////////////////////////////////////////
/// \brief Who calls, by the token shown
////////////////////////////////////////////////////////////
struct Caller
{
    std::string workspace;          //!< Workspace of the token; empty for the administrator
    Scope       scope{Scope::Read}; //!< What it allows

    ////////////////////////////////////////////////////////////
    /// \brief Whether the caller may do something in a workspace
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool may(Scope needed, std::string_view where) const;
};

////////////////////////////////////////////////////////////
/// \brief Makes and checks bearer tokens; the store keeps only their hashes
////////////////////////////////////////////////////////////
class Tokens
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create
    ///
    /// \param store      Where hashes are kept; outlives this
    /// \param adminToken The administrator's token, from a file
    ////////////////////////////////////////////////////////////
    Tokens(ports::Store& store, std::string adminToken);

    ////////////////////////////////////////////////////////////
    /// \brief Find out who shows a token
    ///
    /// \param token       The token shown
    /// \param unavailable Receives whether the store could not be asked
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::optional<Caller> check(std::string_view token, bool& unavailable);

    ////////////////////////////////////////////////////////////
    /// \brief Make a token for a workspace; nothing when the store does not take it
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::optional<std::string> make(std::string_view workspace, Scope scope);

private:
    ports::Store& m_store;      //!< Where hashes are kept
    std::string   m_adminToken; //!< The administrator's token
};

////////////////////////////////////////////////////////////
/// \brief A scope's name in requests, or nothing for another text
////////////////////////////////////////////////////////////
[[nodiscard]] std::optional<Scope> parseScope(std::string_view name);

} // namespace sailpath::api
