//! TLS configuration of the connections between nodes.

use std::sync::Arc;

use poplartrail_core::names::VmName;
use quick_error::quick_error;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use ring::hmac;
use rustls::{
    ClientConfig, RootCertStore, ServerConfig,
    client::verify_server_name,
    crypto::{CryptoProvider, ring as provider},
    server::{ParsedCertificate, WebPkiClientVerifier},
};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, ServerName, pem::PemObject};

use crate::adapters::peers::any_cert_verifier::AnyCertVerifier;

/// Protocol name that both ends have to offer.
const ALPN: &[u8] = b"poplartrail/1";
/// Prefix that separates the stateless reset key from other uses of the same secret.
const RESET_KEY_LABEL: &[u8] = b"poplartrail/1 reset ";

quick_error! {
    /// Reason why the TLS configuration cannot be created.
    #[derive(Debug)]
    pub enum TlsError {
        /// A PEM file holds no valid certificate or key.
        Pem(setting: &'static str, reason: String) {
            display("tls.{} cannot be read ({}): give a PEM file", setting, reason)
        }
        /// The parts do not form a valid configuration, for instance because the key belongs to
        /// another certificate.
        Config(reason: String) {
            display("tls: {}: check that ca, cert and key belong together", reason)
        }
    }
}

/// TLS configuration of a node, as the server and as the client of a connection.
#[derive(Clone)]
pub struct PeersTls {
    pub(crate) server: Arc<QuicServerConfig>,
    pub(crate) client: Arc<QuicClientConfig>,
    /// Key of the stateless reset tokens (RFC 9000, section 10.3). It stays the same across
    /// restarts, so that the first packet that a peer sends on a connection of the previous
    /// process tells it that the connection is gone.
    pub(crate) reset_key: Arc<hmac::Key>,
}

impl PeersTls {
    /// Creates the configuration from PEM texts: `ca` holds the authority that the certificates of
    /// peers are checked against, `cert` and `key` the certificate chain and the private key of
    /// this node.
    pub fn new(ca: &[u8], cert: &[u8], key: &[u8]) -> Result<Self, TlsError> {
        let provider = Arc::new(provider::default_provider());
        let roots = Arc::new(roots(ca)?);
        let chain = certs("cert", cert)?;
        let key = PrivateKeyDer::from_pem_slice(key)
            .map_err(|err| TlsError::Pem("key", err.to_string()))?;
        let reset_key = reset_key(key.secret_der());
        let server = server_config(&provider, &roots, chain.clone(), key.clone_key())?;
        let client = client_config(&provider, &roots, chain, key)?;
        Self::from_configs(server, client, reset_key)
    }
}

impl PeersTls {
    /// Creates the configuration with a new key and a self-signed certificate for `vm`, neither of
    /// which outlives the process.
    ///
    /// This is for a platform that issues no certificates and whose network only its own machines
    /// can use. Traffic between nodes is encrypted, but a peer is identified only by the address
    /// that the platform gave it. The reset key derives from the name of the VM, so anyone on that
    /// network who observes a connection could reset it.
    pub fn self_signed(vm: &VmName) -> Result<Self, TlsError> {
        let config = |err: &dyn std::fmt::Display| TlsError::Config(err.to_string());
        let certified = rcgen::generate_simple_self_signed([vm.to_string()]);
        let certified = certified.map_err(|err| config(&err))?;
        let chain = vec![certified.cert.der().clone()];
        let key = PrivateKeyDer::Pkcs8(certified.signing_key.serialize_der().into());
        let provider = Arc::new(provider::default_provider());
        let verifier = Arc::new(AnyCertVerifier(provider.signature_verification_algorithms));
        let server = ServerConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|err| config(&err))?
            .with_client_cert_verifier(verifier.clone())
            .with_single_cert(chain.clone(), key.clone_key())
            .map_err(|err| config(&err))?;
        let client = ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|err| config(&err))?
            .dangerous()
            .with_custom_certificate_verifier(verifier)
            .with_client_auth_cert(chain, key)
            .map_err(|err| config(&err))?;
        Self::from_configs(server, client, reset_key(vm.as_str().as_bytes()))
    }

    fn from_configs(
        mut server: ServerConfig,
        mut client: ClientConfig,
        reset_key: hmac::Key,
    ) -> Result<Self, TlsError> {
        let config = |err: &dyn std::fmt::Display| TlsError::Config(err.to_string());
        server.alpn_protocols = vec![ALPN.to_vec()];
        client.alpn_protocols = vec![ALPN.to_vec()];
        Ok(Self {
            server: Arc::new(QuicServerConfig::try_from(server).map_err(|err| config(&err))?),
            client: Arc::new(QuicClientConfig::try_from(client).map_err(|err| config(&err))?),
            reset_key: Arc::new(reset_key),
        })
    }
}

fn reset_key(secret: &[u8]) -> hmac::Key {
    hmac::Key::new(hmac::HMAC_SHA256, &[RESET_KEY_LABEL, secret].concat())
}

fn certs(setting: &'static str, pem: &[u8]) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let certs: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
    certs.map_err(|err| TlsError::Pem(setting, err.to_string()))
}

fn roots(ca: &[u8]) -> Result<RootCertStore, TlsError> {
    let mut roots = RootCertStore::empty();
    for cert in certs("ca", ca)? {
        roots.add(cert).map_err(|err| TlsError::Pem("ca", err.to_string()))?;
    }
    Ok(roots)
}

fn server_config(
    provider: &Arc<CryptoProvider>,
    roots: &Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<ServerConfig, TlsError> {
    let error = |err: String| TlsError::Config(err);
    let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
        .build()
        .map_err(|err| error(err.to_string()))?;
    let config = ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|err| error(err.to_string()))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)
        .map_err(|err| error(err.to_string()))?;
    Ok(config)
}

fn client_config(
    provider: &Arc<CryptoProvider>,
    roots: &Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<ClientConfig, TlsError> {
    let error = |err: String| TlsError::Config(err);
    let config = ClientConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|err| error(err.to_string()))?
        .with_root_certificates(roots.clone())
        .with_client_auth_cert(chain, key)
        .map_err(|err| error(err.to_string()))?;
    Ok(config)
}

/// Returns whether the certificate of the peer on `connection` is valid for the name `vm`.
pub(crate) fn has_certificate_for(connection: &quinn::Connection, vm: &VmName) -> bool {
    let Some(identity) = connection.peer_identity() else { return false };
    let Ok(chain) = identity.downcast::<Vec<CertificateDer<'static>>>() else { return false };
    let Some(leaf) = chain.first() else { return false };
    let Ok(leaf) = ParsedCertificate::try_from(leaf) else { return false };
    let Ok(name) = ServerName::try_from(vm.as_str().to_owned()) else { return false };
    verify_server_name(&leaf, &name).is_ok()
}
