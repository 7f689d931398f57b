#pragma once

#include <sailpath/core/Time.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sailpath::ports
{
////////////////////////////////////////////////////////////
/// \brief How a call to the store ended
////////////////////////////////////////////////////////////
enum class StoreStatus
{
    Ok,          //!< Done
    Conflict,    //!< The condition did not hold; nothing was changed
    Unavailable, //!< Certainly not done
    Unknown      //!< The answer was lost; it may have been done
};

////////////////////////////////////////////////////////////
/// \brief A key of the store and what it holds
////////////////////////////////////////////////////////////
struct KeyValue
{
    std::string   key;         //!< Key
    std::string   value;       //!< Value
    std::uint64_t revision{0}; //!< The store's revision of the last change
};

////////////////////////////////////////////////////////////
/// \brief Answer to a read
////////////////////////////////////////////////////////////
struct ReadAnswer
{
    StoreStatus           status{StoreStatus::Unavailable}; //!< How it ended
    std::vector<KeyValue> items;                            //!< What was found
    std::uint64_t         revision{0};                      //!< The store's revision at the time
};

////////////////////////////////////////////////////////////
/// \brief Answer to a write
////////////////////////////////////////////////////////////
struct WriteAnswer
{
    StoreStatus             status{StoreStatus::Unavailable}; //!< How it ended
    std::uint64_t           revision{0};                      //!< Revision of the change when it is done
    std::optional<KeyValue> current;                          //!< On a conflict: what the key holds, if it exists
};

////////////////////////////////////////////////////////////
/// \brief Answer to a grant or renewal of a lease
////////////////////////////////////////////////////////////
struct LeaseGrant
{
    StoreStatus    status{StoreStatus::Unavailable}; //!< `Conflict` when the lease is gone
    std::int64_t   lease{0};                         //!< The store's id
    core::Duration length{};                         //!< Length granted
};

////////////////////////////////////////////////////////////
/// \brief A conditional write of one key
////////////////////////////////////////////////////////////
struct ConditionalWrite
{
    std::string   key;         //!< Key
    std::string   value;       //!< New value
    std::uint64_t expected{0}; //!< Revision the key must have; 0 means that it must not exist
    std::int64_t  lease{0};    //!< Lease that the key ends with; 0 for none
};

////////////////////////////////////////////////////////////
/// \brief Answer to the creation of several keys
////////////////////////////////////////////////////////////
struct CreateAnswer
{
    StoreStatus           status{StoreStatus::Unavailable}; //!< `Conflict` when any key exists or the lease has ended
    std::vector<KeyValue> existing;                         //!< On a conflict: the keys that exist
};

////////////////////////////////////////////////////////////
/// \brief Port: the platform's key-value service
///
/// Calls block until the answer or a time limit. Each object serves one
/// thread.
////////////////////////////////////////////////////////////
class Store
{
public:
    virtual ~Store() = default;

    ////////////////////////////////////////////////////////////
    /// \brief Read one key
    ////////////////////////////////////////////////////////////
    [[nodiscard]] virtual ReadAnswer get(std::string_view key) = 0;

    ////////////////////////////////////////////////////////////
    /// \brief Read all keys that begin with a prefix
    ////////////////////////////////////////////////////////////
    [[nodiscard]] virtual ReadAnswer range(std::string_view prefix) = 0;

    ////////////////////////////////////////////////////////////
    /// \brief Write one key if its revision is as expected
    ////////////////////////////////////////////////////////////
    [[nodiscard]] virtual WriteAnswer compareAndSwap(const ConditionalWrite& write) = 0;

    ////////////////////////////////////////////////////////////
    /// \brief Create all of these keys or none
    ////////////////////////////////////////////////////////////
    [[nodiscard]] virtual CreateAnswer createAll(std::span<const ConditionalWrite> writes) = 0;

    ////////////////////////////////////////////////////////////
    /// \brief Remove a key if it holds a value; `Conflict` when it does not
    ////////////////////////////////////////////////////////////
    [[nodiscard]] virtual StoreStatus removeIf(std::string_view key, std::string_view value) = 0;

    ////////////////////////////////////////////////////////////
    /// \brief Be granted a lease
    ////////////////////////////////////////////////////////////
    [[nodiscard]] virtual LeaseGrant grant(core::Duration length) = 0;

    ////////////////////////////////////////////////////////////
    /// \brief Renew a lease
    ////////////////////////////////////////////////////////////
    [[nodiscard]] virtual LeaseGrant renew(std::int64_t lease) = 0;

    ////////////////////////////////////////////////////////////
    /// \brief Give a lease back; its keys go with it. Nothing is lost when the call is: the lease ends by itself
    ////////////////////////////////////////////////////////////
    virtual void revoke(std::int64_t lease) = 0;

    ////////////////////////////////////////////////////////////
    /// \brief Watch all keys that begin with a prefix, until it ends by itself
    ///
    /// \param prefix   What the keys begin with
    /// \param revision First revision wanted
    /// \param changes  Receives changes in order; false ends the watch
    ////////////////////////////////////////////////////////////
    virtual void watch(std::string_view prefix, std::uint64_t revision,
                       const std::function<bool(std::span<const KeyValue>)>& changes) = 0;

    ////////////////////////////////////////////////////////////
    /// \brief End a watch from another thread
    ////////////////////////////////////////////////////////////
    virtual void endWatch() = 0;
};

} // namespace sailpath::ports
