#include "frontend/resume_point.h"

#include <xxhash.h>

namespace gannetcourse::frontend {

v1::ResumePoint makeResumePoint(const v1::GenerateRequest& request) {
  v1::ResumePoint point;
  point.set_request_class(request.request_class());
  point.set_tenant(request.tenant());
  point.set_prompt_hash(XXH3_64bits(request.prompt().data(), request.prompt().size()));
  point.set_seed(request.seed());
  point.set_max_output_tokens(request.max_output_tokens());
  return point;
}

bool describeSameRequest(const v1::ResumePoint& a, const v1::ResumePoint& b) {
  return a.request_class() == b.request_class() && a.tenant() == b.tenant() &&
         a.prompt_hash() == b.prompt_hash() && a.seed() == b.seed() &&
         a.max_output_tokens() == b.max_output_tokens();
}

}  // namespace gannetcourse::frontend
