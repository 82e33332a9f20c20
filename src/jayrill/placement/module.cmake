jayrill_module(placement
  SOURCES minion_health.cc minion_slowness.cc near_place.cc placement_strategy.cc quota_ledger.cc speed_model.cc
          task_queue.cc
  DEPENDS jayrill_base)
