// The fields of a resume token that identify its request.
#pragma once

#include "gannetcourse/v1/chat.pb.h"
#include "gannetcourse/v1/resume.pb.h"

namespace gannetcourse::frontend {

/// Returns a resume point with only the fields that must be equal when the answer is resumed.
v1::ResumePoint makeResumePoint(const v1::GenerateRequest& request);

/// Whether two resume points belong to the same request.
bool describeSameRequest(const v1::ResumePoint& a, const v1::ResumePoint& b);

}  // namespace gannetcourse::frontend
