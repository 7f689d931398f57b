#pragma once

#include <sailpath/balance/LifeRecord.hpp>
#include <sailpath/core/Time.hpp>
#include <sailpath/deployment/Instance.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief Records of all lives of servers, listed or not
///
/// A record is kept while a `ServerView` uses it, and after that for ten minutes
/// if it says anything. Of the records that no view uses at most 1,024 are kept;
/// what is forgotten beyond that is heard again with one answer.
////////////////////////////////////////////////////////////
class ServerLives
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Return the record of an instance's life, an empty one if nothing is known
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::shared_ptr<LifeRecord> of(const deployment::Instance& instance, core::Timestamp now);

    void forgetOld(core::Timestamp now); //!< Call from time to time

    [[nodiscard]] std::size_t size() const; //!< Number of records

private:
    using Key = std::pair<std::string, std::uint64_t>; //!< Id of the server and start of its life

    /// \brief A record and when it was asked for last, or found in use by `forgetOld`
    struct Entry
    {
        std::shared_ptr<LifeRecord> record;
        core::Timestamp             usedAt{};
    };

    [[nodiscard]] std::size_t eraseOld(core::Timestamp now);
    void                      eraseOldest(std::size_t count);

    std::map<Key, Entry> m_entries;
    core::Timestamp      m_forgotAt{}; //!< Last run of `forgetOld`
    std::size_t          m_added{0};   //!< Records added since then
};

} // namespace sailpath::balance
