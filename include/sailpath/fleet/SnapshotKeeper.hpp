#pragma once

#include <sailpath/core/Random.hpp>
#include <sailpath/core/Time.hpp>
#include <sailpath/fleet/QuarantineKeeper.hpp>
#include <sailpath/replication/Item.hpp>
#include <sailpath/snapshot/LearnedState.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace sailpath::fleet
{
////////////////////////////////////////////////////////////
/// \brief Keeps one snapshot of what the fleet has learned in the store, for nodes that start
///
/// Load pattern: all nodes lose power. Their new processes know neither how
/// long requests take nor how long callers wait, and callers return at once.
///
/// Each node offers what it has learned. If this differs enough from the entry,
/// the node writes it after a random delay, which the number of nodes
/// lengthens, under the condition that the entry has not changed. A node that
/// receives another's entry meanwhile compares again. So the fleet makes about
/// one write in 20 s at most, and a writer that dies leaves the write to the
/// others. The class does no input or output.
////////////////////////////////////////////////////////////
class SnapshotKeeper
{
public:
    explicit SnapshotKeeper(std::uint64_t seed);

    [[nodiscard]] static bool isSnapshotKey(std::string_view key);

    /// \brief Offer what this node has learned; `nodes` share the writing
    void offer(snapshot::LearnedState learned, unsigned nodes, const Moment& at);

    /// \brief Apply a written or removed entry of the store; false when it is unreadable
    [[nodiscard]] bool applyEntry(const replication::Item& item, const Moment& at);

    ////////////////////////////////////////////////////////////
    /// \brief Get the write that is due; null when none is
    ///
    /// \return Item to write; create it if its revision is 0
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::optional<replication::Item> nextWrite(const Moment& at);

    void finishWrite(); //!< End the write under way, whatever its result

    [[nodiscard]] std::optional<core::Timestamp> nextDue() const; //!< Time at which to call `nextWrite`

    /// \brief Get the snapshot in the store; null when there is none, it is unreadable, or its age is beyond trust
    [[nodiscard]] std::shared_ptr<const snapshot::LearnedState> current(const Moment& at) const;

    /// \brief Get the time since the entry was made, by the wall clocks of two nodes; null when there is none
    [[nodiscard]] std::optional<core::Duration> age(const Moment& at) const;

private:
    core::Random                                  m_random;         //!< Source of random delays, seeded for each node
    std::shared_ptr<const snapshot::LearnedState> m_stored;         //!< Readable entry of the store
    std::uint64_t                                 m_revision{0};    //!< Revision of the entry; 0 for none
    std::optional<core::Timestamp>                m_heardAt;        //!< When the entry last changed
    snapshot::LearnedState                        m_learned;        //!< Latest offer
    std::optional<core::Timestamp>                m_writeAt;        //!< When this node writes, unless another has
    bool                                          m_writing{false}; //!< A write is under way
};

} // namespace sailpath::fleet
