// Membership of the key registries and retired failure domains in the replicated state.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "state/change_state.h"
#include "state/view_state_data.h"

namespace mangoroad::state {

/// Bounds of what operators and entry VMs can make the replicated state hold.
constexpr std::size_t kMaxViewMembers = 64;
constexpr std::size_t kMaxDomains = 1'024;

/// Views by failure domain. Consecutive views differ by one member. The last member of a view can't
/// be removed, since it alone may know the claims made in it; a domain that is lost for ever is
/// retired instead, and stays retired.
class ViewState final : public ChangeState<ChangeView, ChangeAnswer> {
 public:
  const std::map<std::string, View>& Views() const { return this->views; }

  std::string Snapshot() const override;
  base::Result<base::Done, StateError> Restore(std::string_view bytes) override;

 protected:
  ChangeAnswer Decide(ApplyContext& context, const ChangeView& change) override;
  audit::Event EventOf(const ApplyContext& context, const ChangeView& change) const override;

 private:
  View ViewOf(const std::string& domain) const;
  ChangeAnswer Add(const ChangeView& change, View& view) const;
  ChangeAnswer Remove(const ChangeView& change, View& view) const;
  ChangeAnswer Retire(const ChangeView& change, View& view) const;

  std::map<std::string, View> views;
};

}  // namespace mangoroad::state
