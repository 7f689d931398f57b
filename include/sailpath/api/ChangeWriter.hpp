#pragma once

#include <sailpath/ports/Store.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace sailpath::api
{
////////////////////////////////////////////////////////////
/// \brief What an operator wants to change
////////////////////////////////////////////////////////////
struct Change
{
    std::string                  workspace;     //!< Workspace
    std::string                  text;          //!< New declaration; empty to delete
    bool                         remove{false}; //!< Delete the workspace
    std::optional<std::uint64_t> ifRevision;    //!< Revision that must be current; 0 means that it must not exist
    std::string                  changeId;      //!< Names the change; the same id is never applied twice
    bool                         dryRun{false}; //!< Only say what would happen
};

////////////////////////////////////////////////////////////
/// \brief What came of a change
////////////////////////////////////////////////////////////
enum class ChangeResult
{
    Done,        //!< In the store
    AlreadyDone, //!< This change id was applied before
    WouldBeDone, //!< Dry run: it would be applied
    Conflict,    //!< Somebody else changed the workspace first
    NotFound,    //!< There is nothing to delete
    Unavailable, //!< Certainly not done
    Unknown      //!< The store does not say; ask again with the same change id
};

////////////////////////////////////////////////////////////
/// \brief Answer to a change
////////////////////////////////////////////////////////////
struct ChangeAnswer
{
    ChangeResult  result{ChangeResult::Unavailable}; //!< What came of it
    std::uint64_t revision{0};                       //!< Revision of the change, or the current one on a conflict
};

////////////////////////////////////////////////////////////
/// \brief Writes operators' changes so that none is lost and none is made twice
///
/// Each write is a compare-and-swap against the revision that the operator
/// saw. An answer that is lost is resolved by reading back the change ids
/// that the document carries.
////////////////////////////////////////////////////////////
class ChangeWriter
{
public:
    using Pause = std::function<void()>;

    ////////////////////////////////////////////////////////////
    /// \brief Create a writer
    ///
    /// \param store The store; outlives the writer
    /// \param pause Called between tries
    ////////////////////////////////////////////////////////////
    ChangeWriter(ports::Store& store, Pause pause);

    ////////////////////////////////////////////////////////////
    /// \brief Make a change
    ////////////////////////////////////////////////////////////
    [[nodiscard]] ChangeAnswer apply(const Change& change);

private:
    [[nodiscard]] std::optional<ChangeAnswer> tryOnce(const Change& change);

    ports::Store& m_store;         //!< The store
    Pause         m_pause;         //!< Called between tries
    bool          m_unsure{false}; //!< A write of the present change may have taken effect
};

} // namespace sailpath::api
