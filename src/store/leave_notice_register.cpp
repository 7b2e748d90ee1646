#include "store/leave_notice_register.h"

#include <algorithm>

namespace cometstand::store {

wire::LeaveNoticeT makeLeaveNotice(const std::string& node, const mesh::Incarnation& incarnation) {
  wire::LeaveNoticeT notice;
  notice.node = node;
  notice.instance = incarnation.id;
  notice.born_ms = incarnation.born_ms;
  return notice;
}

LeaveNoticeResult LeaveNoticeRegister::apply(const wire::LeaveNoticeT& notice) {
  const mesh::Incarnation incarnation{notice.instance, notice.born_ms};
  if (contains(notice.node, incarnation)) return LeaveNoticeResult::Known;
  auto& numbers = by_node_[notice.node];
  notices_[++last_number_] = {notice.node, incarnation};
  numbers.push_back(last_number_);
  if (numbers.size() > kMaxNoticesPerNode) erase(numbers.front());
  if (notices_.size() > kMaxNotices) erase(notices_.begin()->first);
  return LeaveNoticeResult::Recorded;
}

void LeaveNoticeRegister::erase(Number number) {
  const auto notice = notices_.find(number);
  const auto node = by_node_.find(notice->second.node);
  std::erase(node->second, number);
  if (node->second.empty()) by_node_.erase(node);
  notices_.erase(notice);
}

bool LeaveNoticeRegister::contains(const std::string& node, const mesh::Incarnation& incarnation) const {
  const auto notices = noticesOf(node);
  return std::find(notices.begin(), notices.end(), incarnation) != notices.end();
}

std::vector<mesh::Incarnation> LeaveNoticeRegister::noticesOf(const std::string& node) const {
  std::vector<mesh::Incarnation> incarnations;
  const auto numbers = by_node_.find(node);
  if (numbers == by_node_.end()) return incarnations;
  for (const auto number : numbers->second) incarnations.push_back(notices_.at(number).incarnation);
  return incarnations;
}

std::shared_ptr<wire::LeaveNoticeStateT> LeaveNoticeRegister::capture() const {
  if (notices_.empty()) return nullptr;
  auto state = std::make_shared<wire::LeaveNoticeStateT>();
  for (const auto& [number, notice] : notices_) {
    state->notices.push_back(
        std::make_shared<wire::LeaveNoticeT>(makeLeaveNotice(notice.node, notice.incarnation)));
  }
  return state;
}

void LeaveNoticeRegister::restore(const std::shared_ptr<wire::LeaveNoticeStateT>& state) {
  notices_.clear();
  by_node_.clear();
  last_number_ = 0;
  if (state == nullptr) return;
  for (const auto& notice : state->notices) apply(*notice);
}

}  // namespace cometstand::store
