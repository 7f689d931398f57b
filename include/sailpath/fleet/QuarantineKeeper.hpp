#pragma once

#include <sailpath/core/Random.hpp>
#include <sailpath/core/Time.hpp>
#include <sailpath/deployment/Quarantine.hpp>
#include <sailpath/replication/Item.hpp>
#include <sailpath/replication/ItemSource.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sailpath::fleet
{
////////////////////////////////////////////////////////////
/// \brief One moment on the process clock and on the wall clock
////////////////////////////////////////////////////////////
struct Moment
{
    core::Timestamp now{};     //!< Process clock, see `core::now`
    std::int64_t    unixMs{0}; //!< Wall clock, milliseconds since 1970; the form in the store
};

////////////////////////////////////////////////////////////
/// \brief Keeps quarantined requests in the store, so that a quarantine outlasts every node
///
/// All nodes conclude the same from the same reports. The node that saw the last
/// server end writes the entry at once. The others write only if the entry does
/// not appear, each after a random delay, so that the fleet normally makes one
/// call. All nodes, also starting ones, receive the entry through their copies
/// of the store. A quarantine ends at once when operators remove its entry; an
/// expired entry is removed by any node. The class does no input or output.
////////////////////////////////////////////////////////////
class QuarantineKeeper
{
public:
    QuarantineKeeper(std::string node, std::uint64_t seed);

    [[nodiscard]] static bool isQuarantineKey(std::string_view key);

    void addConclusion(const deployment::Quarantine& quarantine,
                       const Moment&                 at); //!< Add a conclusion of this node; an ended one is withdrawn

    ////////////////////////////////////////////////////////////
    /// \brief Apply a written or removed entry of the store
    ///
    /// \return False when the entry is unreadable or there are too many
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool applyEntry(const replication::Item& item, const Moment& at);

    ////////////////////////////////////////////////////////////
    /// \brief Get the next write that is due; null while another write is under way
    ///
    /// \return Item to write; create it if its revision is 0
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::optional<replication::Item> nextWrite(const Moment& at);

    void finishWrite(replication::WriteStatus status); //!< End the write under way, whatever its result

    [[nodiscard]] std::optional<core::Timestamp>      nextDue() const; //!< Time at which to call `nextWrite`
    [[nodiscard]] std::vector<deployment::Quarantine> list() const;    //!< Quarantines in the store

private:
    /// \brief A quarantine that is in the store
    struct Stored
    {
        deployment::Quarantine quarantine;
        std::uint64_t          revision{0}; //!< Revision of the entry
        core::Timestamp        removeAt{};  //!< When this node removes the entry, unless another has
    };

    /// \brief A conclusion of this node that is not in the store yet
    struct Pending
    {
        deployment::Quarantine quarantine;
        core::Timestamp        writeAt{}; //!< When this node writes the entry, unless another has
    };

    void                         withdraw(const core::ContentHash& content, const Moment& at);
    [[nodiscard]] core::Duration randomDelay(core::Duration most);
    [[nodiscard]] bool           isCovered(const deployment::Quarantine& quarantine) const;
    [[nodiscard]] std::string    encode(const deployment::Quarantine& quarantine, const Moment& at) const;
    [[nodiscard]] static bool    decode(const replication::Item& item, const Moment& at, deployment::Quarantine& to);
    [[nodiscard]] static std::string keyOf(const core::ContentHash& content);

    std::string                          m_node;           //!< Name of this node
    core::Random                         m_random;         //!< Source of random delays, seeded for each node
    std::map<core::ContentHash, Stored>  m_stored;         //!< Quarantines in the store
    std::map<core::ContentHash, Pending> m_pending;        //!< Conclusions that are not in the store yet
    bool                                 m_writing{false}; //!< A write is under way
};

} // namespace sailpath::fleet
