/// Declares plain data types and derives the traits that nearly all of them need:
/// `Clone`, `Debug`, `PartialEq`, `Serialize` and `Deserialize`.
///
/// Further traits are derived on the type itself.
#[macro_export]
macro_rules! plain {
    ($($item:item)+) => {
        $(
            #[derive(Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )+
    };
}
