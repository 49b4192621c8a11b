// Codec of the messages of the fleet-wide rate limit.
// Invariant: a decoded answer has only known verdicts.
#include "wire/codec.h"
#include "wire/codec_parts.h"

namespace heatherdeck::codec {

void write(const permit_request& from, pb::PermitRequest& to) {
  to.set_id(from.id);
  for (const permit_demand& row : from.accounts) {
    auto& added = *to.add_accounts();
    added.set_account(row.account);
    added.set_waiting(row.waiting);
    added.set_ahead(row.ahead);
    added.set_held(row.held);
    added.set_spent(row.spent);
  }
}

void read(const pb::PermitRequest& from, permit_request& to) {
  to.id = from.id();
  for (const auto& row : from.accounts()) {
    to.accounts.push_back({row.account(), row.waiting(), row.ahead(), row.held(), row.spent()});
  }
}

void write(const permit_answer& from, pb::PermitAnswer& to) {
  to.set_id(from.id);
  for (const permit_grant& row : from.accounts) {
    auto& added = *to.add_accounts();
    added.set_account(row.account);
    added.set_granted(row.granted);
    added.set_verdict(static_cast<std::uint32_t>(row.verdict));
    added.set_wait_ms(static_cast<std::uint32_t>(row.wait.count()));
    added.set_scarce(row.scarce);
  }
}

void read(const pb::PermitAnswer& from, permit_answer& to, decode_context& context) {
  to.id = from.id();
  for (const auto& row : from.accounts()) {
    if (row.verdict() >= enum_table<permit_verdict>::entries.size())
      return context.set_error("the answer to a permit request has an unknown verdict");
    to.accounts.push_back({row.account(), row.granted(), static_cast<permit_verdict>(row.verdict()),
                           std::chrono::milliseconds(row.wait_ms()), row.scarce()});
  }
}

void write(const loan_message& from, pb::LoanMessage& to) {
  to.set_id(from.id);
  for (const loan_row& row : from.accounts) {
    auto& added = *to.add_accounts();
    added.set_account(row.account);
    added.set_amount(row.amount);
  }
}

void read(const pb::LoanMessage& from, loan_message& to, decode_context&) {
  to.id = from.id();
  for (const auto& row : from.accounts()) to.accounts.push_back({row.account(), row.amount()});
}

}  // namespace heatherdeck::codec

namespace heatherdeck {

std::string encode(const loan_message& message) { return codec::encode_as<pb::LoanMessage>(message); }

template <>
result<loan_message> decode<loan_message>(std::string_view bytes) {
  return codec::decode_as<loan_message, pb::LoanMessage>(bytes, "loan message");
}

}  // namespace heatherdeck
