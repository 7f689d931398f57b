#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
/// \brief Limit on the memory of request bodies and of answers that wait for earlier ones, shared between workspaces
///
/// Any workspace may use three quarters of the memory. The last quarter is
/// for workspaces that use less than an equal share, so that the bodies of
/// one workspace never exclude those of another.
////////////////////////////////////////////////////////////
class BodyMemory
{
public:
    explicit BodyMemory(std::int64_t total); //!< In bytes, for all workspaces

    [[nodiscard]] bool reserve(const std::string& workspace, std::int64_t bytes); //!< False when memory is short
    void forceReserve(const std::string& workspace, std::int64_t bytes);          //!< Reserve even beyond the limit
    void release(const std::string& workspace, std::int64_t bytes);               //!< Return reserved bytes

    [[nodiscard]] std::int64_t used() const;               //!< Bytes reserved
    [[nodiscard]] bool         isSharedPartUsedUp() const; //!< Only the last quarter is left

private:
    [[nodiscard]] std::int64_t sharedBytes() const; //!< Bytes that any workspace may use

    std::int64_t                        m_total;   //!< Bytes for all workspaces
    std::int64_t                        m_used{0}; //!< Bytes reserved
    std::map<std::string, std::int64_t> m_usedBy;  //!< Bytes reserved, by workspace
};

} // namespace sailpath::gateway::priv
