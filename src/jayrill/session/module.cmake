jayrill_module(session
  SOURCES start_gate.cc start_window.cc
  DEPENDS jayrill_base)
