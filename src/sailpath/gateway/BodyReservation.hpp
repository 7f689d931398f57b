#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace sailpath::gateway::priv
{
class BodyMemory;

////////////////////////////////////////////////////////////
/// \brief Body memory reserved for one request, for its body and its waiting answer; released on destruction
////////////////////////////////////////////////////////////
class BodyReservation
{
public:
    BodyReservation() = default;                                                //!< Reserves nothing and cannot grow
    BodyReservation(std::shared_ptr<BodyMemory> memory, std::string workspace); //!< Begins with 0 bytes
    ~BodyReservation();
    BodyReservation(BodyReservation&& other) noexcept;
    BodyReservation& operator=(BodyReservation&& other) noexcept;
    BodyReservation(const BodyReservation&) = delete;
    BodyReservation& operator=(const BodyReservation&) = delete;

    [[nodiscard]] bool growTo(std::int64_t bytes);      //!< Reserve up to this total; false when memory is short
    void               forceGrowBy(std::int64_t bytes); //!< Count bytes that are in use already, even beyond the limit
    [[nodiscard]] bool canReserve() const;              //!< False for a default-constructed reservation

private:
    void release();

    std::shared_ptr<BodyMemory> m_memory;    //!< Null when nothing can be reserved
    std::string                 m_workspace; //!< Workspace that the bytes are counted for
    std::int64_t                m_bytes{0};  //!< Bytes reserved
};

} // namespace sailpath::gateway::priv
