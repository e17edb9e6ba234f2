// What a call to an engine does for its request.
#pragma once

namespace gannetcourse::router {

enum class CallKind { kPrefill, kDecode };

}  // namespace gannetcourse::router
