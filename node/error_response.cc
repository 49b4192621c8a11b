// Head and body leave in one write, because the head is held back until the body follows. Cost: one write.
#include "node/error_response.h"

namespace heatherdeck {

awaitable<void> send_error_response(caller_link& caller, unsigned status, execution_status execution,
                                    refusal_details details, std::string request_id) {
  response_head head;
  head.retry_after = details.retry_after;
  head.load = details.load;
  head.status = status;
  head.execution = execution;
  head.refused_reason = std::move(details.refused_reason);
  head.request_id = std::move(request_id);
  head.headers.emplace_back("content-type", "text/plain");
  constexpr unsigned unauthorized = 401;
  if (status == unauthorized) head.headers.emplace_back("www-authenticate", "Bearer");  // required by RFC 9110, 11.6.1
  std::string text = std::move(details.text);
  text += '\n';
  head.body = body_framing::sized;
  head.content_length = text.size();
  auto sending_head = caller.send_head(std::move(head), false, true);
  const auto sent = co_await std::move(sending_head);
  if (!sent) co_return;
  auto sending = caller.send_body(std::move(text), true);
  (void)co_await std::move(sending);
}

}  // namespace heatherdeck
