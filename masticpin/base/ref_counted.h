#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace masticpin {

/// Base class of objects that are shared between threads by an intrusive reference count.
template <typename T>
using RefCounted = boost::intrusive_ref_counter<T, boost::thread_safe_counter>;

/// Owning reference to a RefCounted object.
template <typename T>
using Ref = boost::intrusive_ptr<T>;

}  // namespace masticpin
