#ifndef JAYRILL_BASE_REF_COUNTED_H_
#define JAYRILL_BASE_REF_COUNTED_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace jayrill {

/// Base class of objects that are owned by intrusive_ptr. The reference count
/// may be changed from any thread.
template <typename T>
using ref_counted = boost::intrusive_ref_counter<T, boost::thread_safe_counter>;

using boost::intrusive_ptr;

}  // namespace jayrill

#endif  // JAYRILL_BASE_REF_COUNTED_H_
