#pragma once

#include <string>
#include <string_view>

#include "schema/objects_generated.h"

namespace cometstand::config {

/// @return true if the text may name a tenant, object, endpoint or zone: 1 to kMaxNameBytes bytes of a-z,
/// 0-9,
/// '.', '_', '-', the first a letter or digit.
bool isName(std::string_view text);

/// Checks a key by itself: names, and that tenant and name are set as the kind wants.
/// @throw Error(Invalid)
void checkKey(const wire::ObjectKeyT& key);

/// Checks an object by itself: key, fields, lengths, ranges, addresses, duplicates. References are not looked
/// at.
/// @throw Error(Invalid) naming the object, the field and the remedy; never a secret's value.
void checkObject(const wire::ObjectT& object);

}  // namespace cometstand::config
