#include "relay.h"

#include "gannetcourse/v1/chat.pb.h"
#include "gannetcourse/v1/engine.pb.h"

namespace gannetcourse::lab {

Relay::Relay(net::Loop& loop, const std::vector<net::Endpoint>& prefillAddresses,
             const std::vector<net::Endpoint>& decodeAddresses)
    : server_(loop, net::Endpoint{}), prefillAddresses_(prefillAddresses) {
  for (const auto& address : prefillAddresses)
    prefillEngines_.push_back(std::make_unique<grpc::Channel>(loop, address));
  for (const auto& address : decodeAddresses)
    decodeEngines_.push_back(std::make_unique<grpc::Channel>(loop, address));
  server_.handle("/gannetcourse.v1.Chat/Generate",
                 [this](const std::shared_ptr<grpc::ServerCall>& call, std::string_view bytes) {
                   onGenerate(call, bytes);
                 });
}

void Relay::onGenerate(const std::shared_ptr<grpc::ServerCall>& call, std::string_view bytes) {
  v1::GenerateRequest request;
  if (!request.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return call->finish({grpc::Code::kInvalidArgument, "request"});
  const std::size_t engineIndex = ++nextEngine_ % prefillEngines_.size();
  v1::PrefillRequest prefill;
  prefill.set_prompt(request.prompt());
  prefill.set_prompt_tokens(request.prompt_tokens());
  v1::DecodeRequest decode;
  decode.set_seed(request.seed());
  decode.set_max_output_tokens(request.max_output_tokens());
  decode.set_prompt_tokens(request.prompt_tokens());
  decode.set_reader_address(prefillAddresses_[engineIndex].text());
  const auto prefillCall = prefillEngines_[engineIndex]->start("/gannetcourse.v1.Engine/Prefill",
                                                               prefill.SerializeAsString(), call->timeout());
  prefillCall->onMessage = [this, call, decode](std::string_view message) mutable {
    v1::PrefillReply reply;
    reply.ParseFromArray(message.data(), static_cast<int>(message.size()));
    decode.set_state(reply.state());
    startDecode(call, decode.SerializeAsString());
  };
  prefillCall->onEnd = [call](const grpc::CallEnd& end) {
    if (end.status.code != grpc::Code::kOk) call->finish(end.status);
  };
}

void Relay::startDecode(const std::shared_ptr<grpc::ServerCall>& call, const std::string& decode) {
  const auto decodeCall = decodeEngines_[nextEngine_ % decodeEngines_.size()]->start(
      "/gannetcourse.v1.Engine/Decode", decode, call->timeout());
  decodeCall->onMessage = [call](std::string_view message) {
    v1::DecodeToken token;
    token.ParseFromArray(message.data(), static_cast<int>(message.size()));
    v1::GenerateToken out;
    out.set_index(token.index());
    out.set_text(token.text());
    call->send(out.SerializeAsString());
  };
  decodeCall->onEnd = [call](const grpc::CallEnd& end) { call->finish(end.status); };
  call->onClientDisconnected = [decodeCall] { decodeCall->cancel(); };
}

}  // namespace gannetcourse::lab
