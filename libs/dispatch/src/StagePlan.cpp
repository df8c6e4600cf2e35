#include "masticstep/dispatch/StagePlan.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace masticstep::dispatch {

namespace {

using Engines = std::vector<const Backend*>;

// Engines of one data centre by the stage that they have, or will have after a pending change.
struct DataCentre
{
  Engines prefill;
  Engines decode;
  std::size_t changing = 0;

  std::size_t Total() const { return prefill.size() + decode.size(); }
};

// Engines for decoding.
struct Writers
{
  std::size_t all = 0;
  std::size_t settled = 0; // without a pending change
};

// Engines of one software version in all data centres.
struct Version
{
  std::size_t engines = 0;
  Writers writers;
  std::map<DataCentreName, Writers> writersIn;

  void AddWriter(const DataCentreName& aDataCentre, bool aIsSettled)
  {
    for (Writers* counted : { &writers, &writersIn[aDataCentre] }) {
      counted->all += 1;
      counted->settled += aIsSettled ? 1 : 0;
    }
  }

  void RemoveSettledWriter(const DataCentreName& aDataCentre)
  {
    for (Writers* counted : { &writers, &writersIn[aDataCentre] }) {
      counted->all -= 1;
      counted->settled -= 1;
    }
  }

  std::size_t DataCentresWithSettledWriter() const
  {
    return static_cast<std::size_t>(
      std::count_if(writersIn.begin(), writersIn.end(),
                    [](const auto& aEntry) { return aEntry.second.settled > 0; }));
  }

  double WriterShare() const
  {
    return static_cast<double>(writers.all) /
           static_cast<double>(std::max<std::size_t>(1, engines));
  }
};

bool IsPlanned(const Backend& aBackend, const ServiceName& aService)
{
  return !aBackend.isDraining && aBackend.stage != Stage::Whole && aBackend.service == aService;
}

// Beside other versions, a version has at least this many engines for decoding, if it has more
// engines: several may crash at once. While a version has none for decoding, the streams that it
// began cannot go on, and a change of stage takes seconds.
constexpr std::size_t kWriterReplicas = 3;
// Least part of its share of engines for decoding that a version has beside other versions.
constexpr double kMinimumPartOfShare = 0.5;
// Beside other versions, the engines for decoding of a version are in this many data centres, so
// that the loss of one data centre leaves some.
constexpr std::size_t kWriterDataCentres = 2;

// Plans the stages of one service. Only engines of the software version that began a stream can go
// on with it, and only engines for decoding write. So each version keeps engines for decoding in
// the fleet first; then each data centre approaches its share.
class StagePlanner
{
public:
  StagePlanner(const std::map<BackendServerName, Backend>& aBackends, const ServiceName& aService,
               const StagePolicy& aPolicy, const PendingStages& aPending)
    : mPolicy(aPolicy)
    , mPending(aPending)
  {
    for (const auto& [id, backend] : aBackends) {
      if (IsPlanned(backend, aService)) {
        AddEngine(backend);
      }
    }
  }

  std::vector<StageChange> Plan()
  {
    for (const auto& [name, version] : mVersions) {
      while (version.writers.all < MinimumWriters(version) && AddWriter(name)) {
      }
    }
    for (auto& [name, dataCentre] : mDataCentres) {
      ApproachShare(dataCentre);
    }
    return std::move(mChanges);
  }

private:
  bool IsPending(const Backend& aBackend) const { return mPending.contains(aBackend.id); }

  void AddEngine(const Backend& aBackend)
  {
    const auto pending = mPending.find(aBackend.id);
    const bool isPending = pending != mPending.end();
    const Stage stage = isPending ? pending->second : aBackend.stage;
    DataCentre& dataCentre = mDataCentres[aBackend.dataCentre];
    Version& version = mVersions[aBackend.softwareVersion];
    dataCentre.changing += isPending ? 1 : 0;
    version.engines += 1;
    if (stage == Stage::Prefill) {
      dataCentre.prefill.push_back(&aBackend);
      return;
    }
    dataCentre.decode.push_back(&aBackend);
    version.AddWriter(aBackend.dataCentre, !isPending);
  }

  // Returns with how many engines for decoding the version gets one more.
  std::size_t MinimumWriters(const Version& aVersion) const
  {
    if (mVersions.size() == 1 || aVersion.engines == 1) {
      return 1;
    }
    const std::size_t replicas = std::min(aVersion.engines - 1, kWriterReplicas);
    return std::max(replicas, ShareOf(aVersion, kMinimumPartOfShare));
  }

  // Returns a part of the version's share of engines for decoding, rounded up.
  std::size_t ShareOf(const Version& aVersion, double aPart) const
  {
    const double share = mPolicy.decodeShare * static_cast<double>(aVersion.engines);
    return static_cast<std::size_t>(std::ceil(aPart * share));
  }

  // Returns with how many engines for decoding the version spares none. More than the minimum, so
  // that a version does not lose engines for decoding to another one that joins.
  std::size_t KeptWriters(const Version& aVersion) const
  {
    const std::size_t minimum = MinimumWriters(aVersion);
    return mVersions.size() == 1 ? minimum : std::max(minimum, ShareOf(aVersion, 1.0));
  }

  // Returns whether the engine is one of those that spread its version's engines for decoding.
  bool IsNeededInDataCentre(const Backend& aWriter) const
  {
    const Version& version = VersionOf(aWriter);
    return mVersions.size() > 1 && version.writersIn.at(aWriter.dataCentre).settled == 1 &&
           version.DataCentresWithSettledWriter() <= kWriterDataCentres;
  }

  std::size_t TargetCount(const DataCentre& aDataCentre) const
  {
    const double share = mPolicy.decodeShare * static_cast<double>(aDataCentre.Total());
    return std::max<std::size_t>(static_cast<std::size_t>(std::lround(share)),
                                 mPolicy.minimumDecodeEngines);
  }

  std::size_t ChangeLimit(const DataCentre& aDataCentre) const
  {
    const double total = static_cast<double>(aDataCentre.Total());
    const double limit = std::ceil(std::min(1.0, mPolicy.maximumChangeShare) * total);
    const std::size_t count = static_cast<std::size_t>(limit);
    return count - std::min(count, aDataCentre.changing);
  }

  // Returns by how many engines for decoding the data centre exceeds its share.
  double Excess(const DataCentre& aDataCentre) const
  {
    return static_cast<double>(aDataCentre.decode.size()) -
           static_cast<double>(TargetCount(aDataCentre));
  }

  // Makes an engine of the version decode: if it can, in a data centre that lacks such engines
  // anyway, then where the version has the fewest. Ignores the limit on changes. Returns whether
  // there was an engine.
  bool AddWriter(const SoftwareVersion& aVersion)
  {
    DataCentre* best = nullptr;
    const Backend* engine = nullptr;
    std::tuple<bool, std::size_t, double> lowest;
    for (auto& [name, dataCentre] : mDataCentres) {
      const Backend* candidate = FindPrefillEngine(dataCentre, aVersion);
      if (candidate == nullptr) {
        continue;
      }
      const std::tuple<bool, std::size_t, double> rank{ Excess(dataCentre) >= 0.0,
                                                        mVersions.at(aVersion).writersIn[name].all,
                                                        Excess(dataCentre) };
      if (best == nullptr || rank < lowest) {
        best = &dataCentre;
        engine = candidate;
        lowest = rank;
      }
    }
    if (engine != nullptr) {
      ToDecode(*best, *engine);
    }
    return engine != nullptr;
  }

  const Backend* FindPrefillEngine(const DataCentre& aDataCentre,
                                   const SoftwareVersion& aVersion) const
  {
    for (const Backend* engine : aDataCentre.prefill) {
      if (engine->softwareVersion == aVersion && !IsPending(*engine)) {
        return engine;
      }
    }
    return nullptr;
  }

  void ApproachShare(DataCentre& aDataCentre)
  {
    const std::size_t target = TargetCount(aDataCentre);
    std::size_t limit = ChangeLimit(aDataCentre);
    for (; limit > 0 && aDataCentre.decode.size() > target; --limit) {
      const Backend* engine = ChooseForPrefill(aDataCentre);
      if (engine == nullptr) {
        return;
      }
      ToPrefill(aDataCentre, *engine);
    }
    // At least one engine must remain for prefill.
    for (; limit > 0 && aDataCentre.decode.size() < target && aDataCentre.prefill.size() > 1;
         --limit) {
      const Backend* engine = ChooseForDecode(aDataCentre);
      if (engine == nullptr) {
        return;
      }
      ToDecode(aDataCentre, *engine);
    }
  }

  // Returns an engine for decoding of the version that can spare one best, or null.
  const Backend* ChooseForPrefill(const DataCentre& aDataCentre) const
  {
    const Backend* best = nullptr;
    for (const Backend* engine : aDataCentre.decode) {
      const Version& version = VersionOf(*engine);
      if (IsPending(*engine) || version.writers.settled <= KeptWriters(version) ||
          IsNeededInDataCentre(*engine)) {
        continue;
      }
      if (best == nullptr || version.WriterShare() > VersionOf(*best).WriterShare()) {
        best = engine;
      }
    }
    return best;
  }

  // Returns an engine for prefill of the version that lacks engines for decoding most, or null.
  const Backend* ChooseForDecode(const DataCentre& aDataCentre) const
  {
    const Backend* best = nullptr;
    for (const Backend* engine : aDataCentre.prefill) {
      const double share = VersionOf(*engine).WriterShare();
      if (!IsPending(*engine) && (best == nullptr || share < VersionOf(*best).WriterShare())) {
        best = engine;
      }
    }
    return best;
  }

  const Version& VersionOf(const Backend& aBackend) const
  {
    return mVersions.at(aBackend.softwareVersion);
  }

  void ToPrefill(DataCentre& aDataCentre, const Backend& aEngine)
  {
    std::erase(aDataCentre.decode, &aEngine);
    mVersions.at(aEngine.softwareVersion).RemoveSettledWriter(aEngine.dataCentre);
    aDataCentre.prefill.push_back(&aEngine);
    AddChange(aDataCentre, aEngine, Stage::Prefill);
  }

  void ToDecode(DataCentre& aDataCentre, const Backend& aEngine)
  {
    std::erase(aDataCentre.prefill, &aEngine);
    mVersions.at(aEngine.softwareVersion).AddWriter(aEngine.dataCentre, false);
    aDataCentre.decode.push_back(&aEngine);
    AddChange(aDataCentre, aEngine, Stage::Decode);
  }

  void AddChange(DataCentre& aDataCentre, const Backend& aEngine, Stage aStage)
  {
    aDataCentre.changing += 1;
    mChanges.push_back({ aEngine.id, aStage });
  }

  const StagePolicy& mPolicy;
  const PendingStages& mPending;
  std::map<DataCentreName, DataCentre> mDataCentres;
  std::map<SoftwareVersion, Version> mVersions;
  std::vector<StageChange> mChanges;
};

} // namespace

std::optional<double> CurrentDecodeShare(const std::map<BackendServerName, Backend>& aBackends,
                                         const ServiceName& aService)
{
  std::size_t all = 0;
  std::size_t decode = 0;
  for (const auto& [id, backend] : aBackends) {
    if (IsPlanned(backend, aService)) {
      all += 1;
      decode += backend.stage == Stage::Decode ? 1 : 0;
    }
  }
  if (all == 0) {
    return std::nullopt;
  }
  return static_cast<double>(decode) / static_cast<double>(all);
}

std::vector<StageChange> PlanStages(const std::map<BackendServerName, Backend>& aBackends,
                                    const ServiceName& aService, const StagePolicy& aPolicy,
                                    const PendingStages& aPending)
{
  return StagePlanner(aBackends, aService, aPolicy, aPending).Plan();
}

} // namespace masticstep::dispatch
