package daemon

import (
	"berylpass/config/settings"
	"berylpass/monitor/event"
)

// Reload applies the settings that can change while the daemon runs: the bounds of
// second attempts and of the extra work of hedges. The log level, which it only logs, is set by the process.
func (d *Daemon) Reload(s settings.Settings) {
	limits := s.Limits
	d.limitSettings.Store(&limits)
	event.SettingsReloaded.Log(&d.logger).Float64("retry-share", limits.RetryShare).Int("retry-slack", limits.RetrySlack).
		Float64("hedge-share", limits.HedgeShare).
		Str("log-level", s.Log.Level).Send()
}

// LogReloadFailure logs that the changed settings are invalid and were not applied.
func (d *Daemon) LogReloadFailure(err error) {
	event.SettingsRefused.Log(&d.logger).Err(err).Send()
}
