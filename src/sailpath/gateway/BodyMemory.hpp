#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
/// \brief Memory for request bodies and for answers that wait for their turn, shared between workspaces
///
/// Anybody may use most of it. The rest is for workspaces that hold less
/// than an equal share, so that the bodies of one never keep out those of
/// another.
////////////////////////////////////////////////////////////
class BodyMemory
{
public:
    explicit BodyMemory(std::int64_t total); //!< Bytes for all together

    [[nodiscard]] bool reserve(const std::string& workspace, std::int64_t bytes); //!< False when there is none for it
    void               forceReserve(const std::string& workspace, std::int64_t bytes); //!< What is held already
    void               release(const std::string& workspace, std::int64_t bytes);      //!< What was taken or counted

    [[nodiscard]] std::int64_t used() const;               //!< Bytes taken
    [[nodiscard]] bool         isSharedPartUsedUp() const; //!< What anybody may use is used up

private:
    [[nodiscard]] std::int64_t sharedBytes() const; //!< That anybody may use

    std::int64_t                        m_total;   //!< Bytes for all together
    std::int64_t                        m_used{0}; //!< Bytes taken
    std::map<std::string, std::int64_t> m_usedBy;  //!< Of these, by workspace
};

} // namespace sailpath::gateway::priv
