#include <sailpath/replication/ValueDelta.hpp>

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace sailpath::replication
{
namespace
{
constexpr int         compressionLevel = 1; // zstd level; compressing a configuration of 0.5 MB takes about 1 ms
constexpr int         minWindowLog = 10;    // Binary logarithm of bytes; zstd's minimum
constexpr int         maxWindowLog = 26;    // Binary logarithm of bytes; covers `maxValueSize`
constexpr std::size_t longDistanceThreshold = 128UL * 1024; // Bytes from which long-distance matching is used

struct FreeCompressor
{
    void operator()(ZSTD_CCtx* context) const
    {
        ZSTD_freeCCtx(context);
    }
};

struct FreeDecompressor
{
    void operator()(ZSTD_DCtx* context) const
    {
        ZSTD_freeDCtx(context);
    }
};

} // namespace

////////////////////////////////////////////////////////////
std::string packValue(std::string_view value, std::string_view base)
{
    const std::size_t totalSize = value.size() + base.size();
    const int         windowLog = std::clamp(static_cast<int>(std::bit_width(totalSize)), minWindowLog, maxWindowLog);
    const std::unique_ptr<ZSTD_CCtx, FreeCompressor> context(ZSTD_createCCtx());
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compressionLevel);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLog);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching,
                           totalSize >= longDistanceThreshold ? 1 : 0);
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    std::string       packed(ZSTD_compressBound(value.size()), '\0');
    const std::size_t size = ZSTD_compress2(context.get(), packed.data(), packed.size(), value.data(), value.size());
    packed.resize(ZSTD_isError(size) != 0 ? 0 : size);
    return packed;
}

////////////////////////////////////////////////////////////
std::optional<std::string> unpackValue(std::string_view packed, std::string_view base)
{
    const auto size = ZSTD_getFrameContentSize(packed.data(), packed.size());
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR || size > maxValueSize)
        return std::nullopt;
    const std::unique_ptr<ZSTD_DCtx, FreeDecompressor> context(ZSTD_createDCtx());
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, maxWindowLog);
    ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    std::string       value(size, '\0');
    const std::size_t unpackedSize =
        ZSTD_decompressDCtx(context.get(), value.data(), value.size(), packed.data(), packed.size());
    if (ZSTD_isError(unpackedSize) != 0 || unpackedSize != value.size())
        return std::nullopt;
    return value;
}

} // namespace sailpath::replication
