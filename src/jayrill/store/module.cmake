jayrill_module(store
  SOURCES etcd_store.cc json_object.cc memory_store.cc qt_scheduler.cc
          watch_log.cc
          internal/etcd_client.cc internal/etcd_json.cc internal/etcd_watch.cc
  DEPENDS jayrill_base Qt6::Core Qt6::Network glog::glog)
