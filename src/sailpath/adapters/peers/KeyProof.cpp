#include <sailpath/adapters/peers/KeyProof.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <stdexcept>

namespace sailpath::adapters::peers
{
namespace
{
constexpr std::size_t nonceBytes = 32;

} // namespace

////////////////////////////////////////////////////////////
std::string makeNonce()
{
    std::array<unsigned char, nonceBytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        throw std::runtime_error("no random bytes");
    return {bytes.begin(), bytes.end()};
}

////////////////////////////////////////////////////////////
std::string proveKey(std::string_view key, std::string_view nonce)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned                                   length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char*>(nonce.data()),
         nonce.size(), digest.data(), &length);
    return {digest.begin(), digest.begin() + length};
}

////////////////////////////////////////////////////////////
bool checkProof(std::string_view key, std::string_view nonce, std::string_view proof)
{
    const std::string expected = proveKey(key, nonce);
    return proof.size() == expected.size() && CRYPTO_memcmp(expected.data(), proof.data(), proof.size()) == 0;
}

} // namespace sailpath::adapters::peers
