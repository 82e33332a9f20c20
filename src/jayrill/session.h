#ifndef JAYRILL_SESSION_H_
#define JAYRILL_SESSION_H_

/// \file
/// Umbrella header of the session module: numbering and fencing of starts
/// between one entry incarnation and one agent incarnation, the age of
/// messages, and detection of a paused process.

#include "jayrill/session/connection_input.h"
#include "jayrill/session/loop_progress.h"
#include "jayrill/session/pause_detector.h"
#include "jayrill/session/peer_clock.h"
#include "jayrill/session/retransmission_window.h"
#include "jayrill/session/session_number.h"
#include "jayrill/session/start_gate.h"
#include "jayrill/session/start_window.h"

#endif  // JAYRILL_SESSION_H_
