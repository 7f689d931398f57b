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
class BodyReservation
{
public:
    BodyReservation() = default;                                                //!< Of no memory
    BodyReservation(std::shared_ptr<BodyMemory> memory, std::string workspace); //!< Of nothing yet
    ~BodyReservation();
    BodyReservation(BodyReservation&& other) noexcept;
    BodyReservation& operator=(BodyReservation&& other) noexcept;
    BodyReservation(const BodyReservation&) = delete;
    BodyReservation& operator=(const BodyReservation&) = delete;

    [[nodiscard]] bool growTo(std::int64_t bytes);      //!< Reserve so many in all; false when there are none for it
    void               forceGrowBy(std::int64_t bytes); //!< Count what is held already, beyond what is free if need be
    [[nodiscard]] bool canReserve() const;              //!< It can claim memory

private:
    void release();

    std::shared_ptr<BodyMemory> m_memory;    //!< Null when nothing can be claimed
    std::string                 m_workspace; //!< Whose memory it is
    std::int64_t                m_bytes{0};  //!< Claimed
};

} // namespace sailpath::gateway::priv
