#pragma once

#include "Bundle.h"

#include <nlohmann/json_fwd.hpp>

namespace hyssopwick {

/// Returns the difference from \p from to \p to as JSON: records to set, keys to remove,
/// and the digest of the result.
nlohmann::json makeBundleDelta(const Bundle& from, const Bundle& to);

/// Applies a delta. Fails with ErrorCode::InvalidInput for a malformed delta and
/// with ErrorCode::Corrupt when the result does not have the stated digest.
Outcome<Bundle> applyBundleDelta(const Bundle& from, const nlohmann::json& delta);

}
