// The kinds of calls to engines.
#pragma once

namespace gannetcourse::router {

/// Whether a call runs the prefill or the decode of its request. A decode call for a request without a
/// prefilled state includes the prefill.
enum class CallKind { kPrefill, kDecode };

}  // namespace gannetcourse::router
