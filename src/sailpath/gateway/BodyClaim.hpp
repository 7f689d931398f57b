#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace sailpath::gateway::priv
{
class BodyMemory;

////////////////////////////////////////////////////////////
/// \brief Memory of one request, its body and its answer; given back at the end
////////////////////////////////////////////////////////////
class BodyClaim
{
public:
    BodyClaim() = default;                                                //!< Of no memory
    BodyClaim(std::shared_ptr<BodyMemory> memory, std::string workspace); //!< Of nothing yet
    ~BodyClaim();
    BodyClaim(BodyClaim&& other) noexcept;
    BodyClaim& operator=(BodyClaim&& other) noexcept;
    BodyClaim(const BodyClaim&) = delete;
    BodyClaim& operator=(const BodyClaim&) = delete;

    [[nodiscard]] bool growTo(std::int64_t bytes); //!< Reserve so many in all; false when there are none for it
    void               add(std::int64_t bytes);    //!< Count what is held already, beyond what is free if need be
    [[nodiscard]] bool claims() const;             //!< It can claim memory

private:
    void release();

    std::shared_ptr<BodyMemory> m_memory;    //!< Null when nothing can be claimed
    std::string                 m_workspace; //!< Whose memory it is
    std::int64_t                m_bytes{0};  //!< Claimed
};

} // namespace sailpath::gateway::priv
