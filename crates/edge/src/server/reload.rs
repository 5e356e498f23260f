//! Reloads the configuration on SIGHUP and applies the settings that can change without a restart.

use std::net::SocketAddr;

use super::Server;
use mallowgauge_settings::error::{ConfigError, OneLine};

use crate::front::flight;
use crate::tls::{Connector, TlsError};

/// Why a reloaded configuration is rejected.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    /// The configuration cannot be read.
    #[error("{0}")]
    Configuration(OneLine<ConfigError>),
    /// The TLS settings for backends cannot be used.
    #[error(transparent)]
    BackendTls(#[from] TlsError),
    /// The settings of the Flight frontend cannot be used.
    #[error(transparent)]
    Flight(#[from] flight::ReloadError),
}

impl Server {
    /// Reloads the configuration: replaces discovery's address and Flight's certificates and users. All other
    /// settings take effect at the next start. Open connections and queries, and the state of backends, are kept.
    /// An invalid configuration changes nothing.
    pub(super) fn reload(&mut self) {
        let discovery = match self.replace_settings() {
            Ok(discovery) => discovery,
            Err(error) => {
                return tracing::warn!("configuration reload failed, previous configuration kept: {error}")
            }
        };
        tracing::info!("configuration reloaded, discovery at {discovery}");
        let event = self.discovery.relocate(self.clock.now(), &self.handle, discovery);
        self.handle_discovery_events(event);
    }

    /// Replaces Flight's certificates and users, and returns discovery's new address.
    fn replace_settings(&mut self) -> Result<SocketAddr, ReloadError> {
        let config = (self.load_config)().map_err(ReloadError::Configuration)?;
        let connector = config.flight.backend_tls.as_ref().map(Connector::new).transpose()?;
        self.flight.reload(&config.flight)?;
        self.pool.set_tls(connector);
        Ok(config.discovery)
    }
}
