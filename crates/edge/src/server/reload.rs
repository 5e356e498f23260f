//! SIGHUP: the configuration is read again, and what can change without a restart is taken from it.

use std::net::SocketAddr;

use super::Server;
use mallowgauge_settings::error::{ConfigError, OneLine};

use crate::front::flight;
use crate::tls::{Connector, TlsError};

/// Why a configuration that was read again is not used.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    /// It cannot be read.
    #[error("{0}")]
    Configuration(OneLine<ConfigError>),
    /// What it says of TLS towards backends cannot be used.
    #[error(transparent)]
    BackendTls(#[from] TlsError),
    /// What it says of the Flight frontend cannot be used.
    #[error(transparent)]
    Flight(#[from] flight::ReloadError),
}

impl Server {
    /// Reads the configuration again: discovery's address, Flight's certificates and its users are replaced; all
    /// else counts from the next start. Open connections and queries, and what is known of backends, stay.
    /// A configuration that cannot be used changes nothing.
    pub(super) fn reload(&mut self) {
        let discovery = match self.replace_settings() {
            Ok(discovery) => discovery,
            Err(error) => return tracing::warn!("configuration kept as it was: {error}"),
        };
        tracing::info!("configuration read again, discovery at {discovery}");
        let event = self.discovery.relocate(self.clock.now(), &self.handle, discovery);
        self.handle_discovery_events(event);
    }

    /// Replaces Flight's certificates and users, and says where discovery is from now on.
    fn replace_settings(&mut self) -> Result<SocketAddr, ReloadError> {
        let config = (self.load_config)().map_err(ReloadError::Configuration)?;
        let connector = config.flight.backend_tls.as_ref().map(Connector::new).transpose()?;
        self.flight.reload(&config.flight)?;
        self.pool.set_tls(connector);
        Ok(config.discovery)
    }
}
