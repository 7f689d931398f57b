#include <sailpath/core/ContentHash.hpp>

#include <algorithm>
#include <memory>
#include <openssl/evp.h>

namespace sailpath::core
{
namespace
{
constexpr std::string_view digits = "0123456789abcdef";

} // namespace

////////////////////////////////////////////////////////////
std::string ContentHash::text() const
{
    std::string out;
    out.reserve(2 * bytes.size());
    for (const std::uint8_t byte : bytes)
        out.append(1, digits[byte >> 4U]).append(1, digits[byte & 15U]);
    return out;
}

////////////////////////////////////////////////////////////
std::optional<ContentHash> ContentHash::fromText(std::string_view text)
{
    ContentHash hash;
    if (text.size() != 2 * hash.bytes.size())
        return std::nullopt;
    for (std::size_t i = 0; i < hash.bytes.size(); ++i)
    {
        const auto high = digits.find(text[2 * i]);
        const auto low = digits.find(text[2 * i + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos)
            return std::nullopt;
        hash.bytes[i] = static_cast<std::uint8_t>(high << 4U | low);
    }
    return hash;
}

////////////////////////////////////////////////////////////
ContentHash contentHash(std::span<const std::string_view> texts)
{
    const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    for (const std::string_view text : texts)
    {
        const std::uint64_t size = text.size();
        EVP_DigestUpdate(context.get(), &size, sizeof(size));
        EVP_DigestUpdate(context.get(), text.data(), text.size());
    }
    std::array<std::uint8_t, EVP_MAX_MD_SIZE> whole{};
    EVP_DigestFinal_ex(context.get(), whole.data(), nullptr);
    ContentHash hash;
    std::copy_n(whole.begin(), hash.bytes.size(), hash.bytes.begin());
    return hash;
}

} // namespace sailpath::core
