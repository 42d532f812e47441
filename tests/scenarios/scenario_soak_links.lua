-- Injects faults into real processes whose nodes have narrow links, while uploads are offered and
-- granted: links that are narrower than their settings state, delays, resets, partitions, stops, kills
-- and pauses, new versions. Checks what scenario_soak checks. The seed determines the schedule:
-- scenario-runner --seed N, with SOAK_STEPS and SOAK_VMS as in scenario_soak.
dofile(LIBRARY .. "/mesh.lua")
dofile(LIBRARY .. "/soak.lua")

-- Runs with an odd and with an even seed can share a machine.
run_soak{
  base = SEED % 2 == 1 and 11 or 25,
  link_mbps = 10, load_per_s = 20, body_bytes = 30000,
  weights = {
    { "narrow", 8 }, { "versions", 3 }, { "stop", 4 }, { "stops", 2 }, { "reload", 2 }, { "kill", 3 },
    { "pause", 3 }, { "cut", 2 }, { "reset", 3 }, { "delay", 3 }, { "refuse", 1 },
    { "pause_backend", 1 },
  },
}
