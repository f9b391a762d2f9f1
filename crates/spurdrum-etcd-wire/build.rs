//! Generates clients and servers of the services whose messages are in `src/lib.rs`, without a protobuf
//! compiler.

use tonic_build::manual::{Builder, Method, Service};

fn service(name: &str, methods: &[(&str, &str, bool)]) -> Service {
    let mut service = Service::builder().name(name).package("etcdserverpb");
    for (route, message, is_streaming) in methods {
        let snake_case = route.chars().fold(String::new(), |mut name, letter| {
            if letter.is_uppercase() && !name.is_empty() {
                name.push('_');
            }
            name.push(letter.to_ascii_lowercase());
            name
        });
        let mut method = Method::builder()
            .name(snake_case)
            .route_name(*route)
            .input_type(format!("crate::{message}Request"))
            .output_type(format!("crate::{message}Response"))
            .codec_path("tonic_prost::ProstCodec");
        if *is_streaming {
            method = method.client_streaming().server_streaming();
        }
        service = service.method(method.build());
    }
    service.build()
}

fn main() {
    let server = std::env::var_os("CARGO_FEATURE_SERVER").is_some();
    Builder::new().build_server(server).compile(&[
        service(
            "KV",
            &[("Range", "Range", false), ("Put", "Put", false), ("DeleteRange", "DeleteRange", false)],
        ),
        service("Watch", &[("Watch", "Watch", true)]),
        service(
            "Lease",
            &[
                ("LeaseGrant", "LeaseGrant", false),
                ("LeaseRevoke", "LeaseRevoke", false),
                ("LeaseKeepAlive", "LeaseKeepAlive", true),
            ],
        ),
        service("Auth", &[("Authenticate", "Authenticate", false)]),
    ]);
}
