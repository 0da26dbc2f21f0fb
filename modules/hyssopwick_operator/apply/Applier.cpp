#include "Applier.h"

#include <optional>

namespace hyssopwick {

namespace {
    constexpr const char* bundlePrefix = "hyssopwick/bundle/";
    constexpr const char* unreferencedPartsKey = "hyssopwick/leftovers";
    constexpr int maxReadAttempts = 5;

    std::int64_t partCount(const Bundle& bundle)
    {
        return static_cast<std::int64_t>((bundle.text().size() + Applier::maxPartBytes - 1) / Applier::maxPartBytes);
    }
}

Applier::Applier(KeyValueStore& store, std::string author, std::string nonce)
    : m_store(store)
    , m_author(std::move(author))
    , m_nonce(std::move(nonce))
{
}

Outcome<std::pair<KeyRevision, std::pair<Head, Bundle>>> Applier::readCurrent()
{
    const auto stored = m_store.read(headKey);
    if (!stored)
        return boost::outcome_v2::failure(stored.error());
    if (stored.value().revision == 0)
        return std::make_pair(KeyRevision { 0 }, std::make_pair(Head(), Bundle()));
    const auto head = headFromText(stored.value().value);
    if (!head)
        return boost::outcome_v2::failure(head.error());
    std::string text;
    for (std::int64_t part = 0; part < head.value().parts; ++part) {
        const auto read = m_store.read(bundlePartKey(head.value().bundle, part));
        if (!read)
            return boost::outcome_v2::failure(read.error());
        text += read.value().value;
    }
    auto bundle = Bundle::parse(text);
    if (!bundle)
        return boost::outcome_v2::failure(bundle.error());
    return std::make_pair(stored.value().revision, std::make_pair(head.value(), std::move(bundle.value())));
}

Outcome<void> Applier::writeParts(const Bundle& bundle, std::int64_t parts)
{
    for (std::int64_t part = 0; part < parts; ++part) {
        const auto text = bundle.text().substr(static_cast<std::size_t>(part) * maxPartBytes, maxPartBytes);
        const auto key = bundlePartKey(bundle.digest(), part);
        const auto written = m_store.swap(key, 0, text, Milliseconds(0));
        if (written)
            continue; // written now or earlier: the key contains the digest of its content
        const auto read = m_store.read(key);
        if (!read || read.value().value != text)
            return boost::outcome_v2::failure(written.error());
    }
    return success();
}

ApplyResult Applier::apply(const Bundle& bundle, std::optional<ConfigurationRevision> expected)
{
    const auto current = readCurrent();
    if (!current)
        return { ApplyVerdict::Failed, {}, {}, current.error().message };
    const auto& [keyRevision, active] = current.value();
    const auto& [head, before] = active;
    if (expected && *expected != head.revision)
        return { ApplyVerdict::Conflict, head, {}, "revision " + std::to_string(head.revision) + " is active, not " + std::to_string(*expected) };
    if (head.revision != 0 && bundle == before)
        return { ApplyVerdict::Unchanged, head, {}, "" };
    Head next;
    next.revision = head.revision + 1;
    next.bundle = bundle.digest();
    next.parts = partCount(bundle);
    next.schema = newestRecordSchema;
    next.nonce = m_nonce;
    next.author = m_author;
    next.acceptedAt = unixNow();
    const auto written = writeParts(bundle, next.parts);
    if (!written)
        return { ApplyVerdict::Failed, head, {}, written.error().message };
    const auto swapped = m_store.swap(headKey, keyRevision, headToText(next), Milliseconds(0));
    if (swapped && swapped.value().isSwapped)
        return { ApplyVerdict::Accepted, next, describeDifference(before, bundle), "" };
    return resolveLostAnswer(next, before);
}

// The swap was refused or its answer was lost: the active head shows which.
ApplyResult Applier::resolveLostAnswer(const Head& head, const Bundle& before)
{
    for (int attempt = 0; attempt < maxReadAttempts; ++attempt) {
        const auto current = readCurrent();
        if (!current)
            continue;
        const auto& [activeHead, bundle] = current.value().second;
        if (activeHead.nonce == head.nonce && activeHead.revision == head.revision)
            return { ApplyVerdict::Accepted, activeHead, describeDifference(before, bundle), "" };
        if (activeHead.revision < head.revision)
            return { ApplyVerdict::Failed, activeHead, {}, "the key-value service did not accept the change" };
        if (activeHead.revision == head.revision)
            return { ApplyVerdict::Conflict, activeHead, describeDifference(before, bundle), "revision " + std::to_string(activeHead.revision) + " by " + activeHead.author + " was accepted first" };
        return { ApplyVerdict::Unknown, activeHead, describeDifference(before, bundle), "revision " + std::to_string(activeHead.revision) + " is active; this change may have been active before it" };
    }
    return { ApplyVerdict::Unknown, {}, {}, "the key-value service does not answer" };
}

Outcome<std::size_t> Applier::removeUnreferencedParts()
{
    const auto current = readCurrent();
    if (!current)
        return boost::outcome_v2::failure(current.error());
    const auto keys = m_store.list(bundlePrefix);
    if (!keys)
        return boost::outcome_v2::failure(keys.error());
    const auto earlier = m_store.read(unreferencedPartsKey);
    if (!earlier)
        return boost::outcome_v2::failure(earlier.error());
    const auto activePrefix = std::string(bundlePrefix) + current.value().second.first.bundle.hex();
    std::string unreferenced;
    std::size_t removed = 0;
    for (const auto& key : keys.value()) {
        if (key.rfind(activePrefix, 0) == 0)
            continue;
        // May belong to an apply in progress, which writes the head after its bundle.
        if (earlier.value().value.find(key + "\n") == std::string::npos) {
            unreferenced += key + "\n";
            continue;
        }
        const auto stored = m_store.read(key);
        if (stored && stored.value().revision != 0)
            removed += m_store.remove(key, stored.value().revision).has_value();
    }
    const auto recorded = m_store.swap(unreferencedPartsKey, earlier.value().revision, unreferenced, Milliseconds(0));
    if (!recorded)
        return boost::outcome_v2::failure(recorded.error());
    return removed;
}

}
