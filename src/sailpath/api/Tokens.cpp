#include <sailpath/api/Tokens.hpp>

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>
#include <cstdio>

namespace sailpath::api
{
namespace
{
constexpr std::string_view                tokenPrefix = "/sailpath/tokens/";
constexpr std::size_t                     tokenBytes = 32;
constexpr std::array<std::string_view, 3> scopeNames{"read", "write", "admin"};

////////////////////////////////////////////////////////////
std::string toHex(std::string_view bytes)
{
    std::string text;
    for (const unsigned char byte : bytes)
    {
        std::array<char, 3> digits{};
        std::snprintf(digits.data(), digits.size(), "%02x", byte);
        text += digits.data();
    }
    return text;
}

////////////////////////////////////////////////////////////
std::string sha256(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned                                   length = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr);
    return {digest.begin(), digest.begin() + length};
}

////////////////////////////////////////////////////////////
std::string keyOf(std::string_view token)
{
    // The key is a hash of the secret, so the time of a look-up tells nothing of use.
    return std::string(tokenPrefix) + toHex(sha256(token));
}

} // namespace

////////////////////////////////////////////////////////////
bool Caller::may(Scope needed, std::string_view where) const
{
    if (scope == Scope::Admin)
        return true;
    return workspace == where && scope >= needed;
}

////////////////////////////////////////////////////////////
Tokens::Tokens(ports::Store& store, std::string adminToken) :
m_store(store),
m_adminToken(std::move(adminToken))
{
}

////////////////////////////////////////////////////////////
std::optional<Caller> Tokens::check(std::string_view token, bool& unavailable)
{
    // Hashes have one length, so comparing them tells nothing of the token's.
    const std::string shown = sha256(token);
    const std::string admin = sha256(m_adminToken);
    if (!m_adminToken.empty() && CRYPTO_memcmp(shown.data(), admin.data(), admin.size()) == 0)
        return Caller{"", Scope::Admin};

    const ports::ReadAnswer answer = m_store.get(keyOf(token));
    unavailable = answer.status != ports::StoreStatus::Ok;
    if (unavailable || answer.items.empty())
        return std::nullopt;
    const auto stored = nlohmann::json::parse(answer.items.front().value, nullptr, false);
    const auto isText = [&stored](const char* name) { return stored.contains(name) && stored[name].is_string(); };
    if (!stored.is_object() || !isText("scope") || !isText("workspace"))
        return std::nullopt;
    const auto scope = parseScope(stored["scope"].get_ref<const std::string&>());
    if (!scope)
        return std::nullopt;
    return Caller{stored["workspace"].get<std::string>(), *scope};
}

////////////////////////////////////////////////////////////
std::optional<std::string> Tokens::make(std::string_view workspace, Scope scope)
{
    std::string bytes(tokenBytes, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(bytes.size())) != 1)
        return std::nullopt;
    const std::string    token = toHex(bytes);
    const nlohmann::json value{{"workspace", workspace}, {"scope", scopeNames.at(static_cast<std::size_t>(scope))}};
    const auto           write = m_store.compareAndSwap({keyOf(token), value.dump(), 0, 0});
    if (write.status != ports::StoreStatus::Ok)
        return std::nullopt;
    return token;
}

////////////////////////////////////////////////////////////
std::optional<Scope> parseScope(std::string_view name)
{
    for (std::size_t i = 0; i < scopeNames.size(); ++i)
    {
        if (scopeNames.at(i) == name)
            return static_cast<Scope>(i);
    }
    return std::nullopt;
}

} // namespace sailpath::api
