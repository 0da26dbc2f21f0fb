#pragma once

#include "../runtime/GatewayContext.h"
#include "ViewObserver.h"

namespace hyssopwick {

/// What is known of an update when its records are decoded.
struct UpdateOrigin {
    RegistrationSource source = RegistrationSource::Owner;
    TimePoint arrivedAt;
    TimePoint sentAfter; ///< a time before the source sent the update
    Publication publication; ///< of versions of which no age is reported
    VersionAges versionAges; ///< as the source measured them
    VersionAges estimatedAges; ///< as the source estimated them
};

/// Decodes changed records of the view and tells the observer of their contents. Records when weights versions may
/// have been published, and which records a store that came back from an older copy lacks.
class RecordNotifier {
public:
    RecordNotifier(GatewayContext& context, const StoreView& view);

    void setObserver(ViewObserver observer) { m_observer = std::move(observer); }

    /// Tells the observer of a new era of the store, before the changes of its first update.
    void notifyEra(std::uint64_t era, TimePoint arrivedAt);

    /// Tells the observer of the changes of one update, and of versions that it reports. Returns whether there is any.
    bool notifyChanges(const std::vector<StoreRecord>& changed, const UpdateOrigin& origin);

    /// Tells the observer that all changes of one update were told.
    void notifyBatchEnd() const { ViewObserver::notify(m_observer.onBatchEnd); }

    const VersionPublications& publications() const { return m_publications; }

private:
    void notify(const StoreRecord& record, const UpdateOrigin& origin);
    void notifyRemoval(const std::string& key, RegistrationEnd end) const;
    void expireRestoration();
    void recordPublication(const WeightsVersion& version, const UpdateOrigin& origin);
    /// Records a publication and tells the observer of an unknown version, or one that was published earlier than
    /// known. Returns whether it does.
    bool addPublication(const WeightsVersion& version, const Publication& publication);
    /// Returns whether the observer was told of one.
    bool recordReportedVersions(const UpdateOrigin& origin);

    GatewayContext& m_context;
    const StoreView& m_view;
    ViewObserver m_observer;
    VersionPublications m_publications;
    RestoredRecords m_restored;
    LoopTimer m_restorationTimer;
};

}
