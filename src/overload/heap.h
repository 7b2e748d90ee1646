#pragma once

namespace cometstand::overload {

/// Has the allocator give large blocks back to the system as soon as they are freed. By default it raises the
/// size from which it does so to that of the largest block that was ever freed, and keeps all below. To be
/// called once, before other threads run.
void configureHeap();

/// Gives all free pages of the heap back to the system. Takes a time that grows with the heap.
void releaseFreeHeap();

}  // namespace cometstand::overload
