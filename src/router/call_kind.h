// What a call to an engine does for its request.
#pragma once

namespace gannetcourse::router {

/// What the call asks of its engine. Without a waiting state a decode call includes the prefill.
enum class CallKind { kPrefill, kDecode };

}  // namespace gannetcourse::router
