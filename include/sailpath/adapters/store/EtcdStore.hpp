#pragma once

#include <sailpath/adapters/settings/Endpoint.hpp>
#include <sailpath/ports/Store.hpp>

#include <memory>

namespace sailpath::adapters::store
{
////////////////////////////////////////////////////////////
/// \brief The platform's key-value service by a subset of etcd v3's published JSON gateway
////////////////////////////////////////////////////////////
class EtcdStore : public ports::Store
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create a client; connects when it is first used
    ///
    /// \param endpoint Where the service listens
    /// \param timeout  Longest wait for an answer
    ////////////////////////////////////////////////////////////
    EtcdStore(const settings::Endpoint& endpoint, core::Duration timeout);

    ~EtcdStore() override;
    EtcdStore(const EtcdStore&) = delete;
    EtcdStore& operator=(const EtcdStore&) = delete;

    [[nodiscard]] ports::ReadAnswer   get(std::string_view key) override;
    [[nodiscard]] ports::ReadAnswer   range(std::string_view prefix) override;
    [[nodiscard]] ports::WriteAnswer  compareAndSwap(const ports::ConditionalWrite& write) override;
    [[nodiscard]] ports::CreateAnswer createAll(std::span<const ports::ConditionalWrite> writes) override;
    [[nodiscard]] ports::StoreStatus  removeIf(std::string_view key, std::string_view value) override;
    [[nodiscard]] ports::LeaseGrant   grant(core::Duration length) override;
    [[nodiscard]] ports::LeaseGrant   renew(std::int64_t lease) override;
    void                              revoke(std::int64_t lease) override;
    void                              watch(std::string_view prefix, std::uint64_t revision,
                                            const std::function<bool(std::span<const ports::KeyValue>)>& changes) override;
    void                              endWatch() override;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl; //!< The library's client
};

} // namespace sailpath::adapters::store
