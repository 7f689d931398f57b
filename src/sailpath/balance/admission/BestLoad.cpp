#include <sailpath/balance/admission/BestLoad.hpp>

#include <algorithm>
#include <cmath>

namespace sailpath::balance::admission
{
namespace
{
constexpr double      bucketWidth = 0.25; // Requests per slot
constexpr double      assumedWeight = 5;  // Answers that the assumed curve counts for
constexpr std::size_t aloneCount = 3;     // Buckets in which an attempt takes as long as alone
constexpr double      decaySeconds = 60;  // Decay time of what was learned
constexpr double      nearBest = 0.9;     // Part of the most work from which a lower load is preferred
constexpr double      minBest = 0.5;      // Requests per slot; lower values would leave most slots empty
constexpr double      minWeight = 2;      // Answers that a bucket must have to be considered
constexpr std::size_t fullBucket = 4;     // All slots taken; considered also before any answer, as more slots do more
constexpr double      maxBest = 1.25;     // Requests per slot; waiting requests beyond it add no work

} // namespace

////////////////////////////////////////////////////////////
void BestLoad::record(double load, double works, bool inTime, core::Timestamp now)
{
    const double passed = m_at == core::Timestamp{} ? 0 : std::max(0.0, core::toSeconds(now - m_at));
    const double decay = std::exp(-passed / decaySeconds);
    m_at = now;
    for (Bucket& bucket : m_buckets)
        bucket = {bucket.weight * decay, bucket.load * decay, bucket.works * decay, bucket.inTime * decay};
    const auto index = static_cast<std::size_t>(std::max(0.0, load) / bucketWidth);
    if (index >= bucketCount)
        return;
    Bucket& bucket = m_buckets[index];
    bucket.weight += 1;
    bucket.load += load;
    bucket.works += works;
    bucket.inTime += inTime ? 1 : 0;
    learnBest();
}

////////////////////////////////////////////////////////////
BestLoad::Bucket BestLoad::withAssumed(std::size_t index, double worksAlone) const
{
    const Bucket& known = m_buckets[index];
    const double  load = (static_cast<double>(index) + 0.5) * bucketWidth;
    const double  works = worksAlone * std::max(1.0, load);
    return {known.weight + assumedWeight, known.load + assumedWeight * load, known.works + assumedWeight * works,
            known.inTime + assumedWeight};
}

////////////////////////////////////////////////////////////
void BestLoad::learnBest()
{
    Bucket alone{assumedWeight, 0, assumedWeight, 0};
    for (std::size_t i = 0; i < aloneCount; ++i)
    {
        alone.weight += m_buckets[i].weight;
        alone.works += m_buckets[i].works;
    }
    std::array<Bucket, bucketCount> curve;
    std::array<double, bucketCount> done{};
    for (std::size_t i = 0; i < bucketCount; ++i)
    {
        curve[i] = withAssumed(i, alone.works / alone.weight);
        // An instance with few slots never holds the loads of some buckets.
        const bool counts = m_buckets[i].weight >= minWeight || i == fullBucket;
        done[i] = counts ? curve[i].load / curve[i].works * (curve[i].inTime / curve[i].weight) : 0;
    }
    const double most = *std::max_element(done.begin(), done.end());
    const auto   first = std::find_if(done.begin(), done.end(), [&](double value) { return value >= nearBest * most; });
    const Bucket& best = curve[static_cast<std::size_t>(first - done.begin())];
    m_best = std::clamp(best.load / best.weight, minBest, maxBest);
}

////////////////////////////////////////////////////////////
double BestLoad::value() const
{
    return m_best;
}

} // namespace sailpath::balance::admission
